package scale

import "lilacbend/internal/configclient"

// network has a link from each region to each server, and from each server to each server.
type network struct {
	plan            Plan
	controllerLinks [][]*link // by region and server
	serverLinks     [][]*link // by follower and server
}

func newNetwork(p Plan, addresses []string) (n *network, err error) {
	n = &network{plan: p}
	defer func() {
		if err != nil {
			n.close()
		}
	}()
	newRow := func() (links []*link, err error) {
		for server := range p.Servers {
			l, err := newLink(addresses[server])
			if err != nil {
				return links, err
			}
			links = append(links, l)
		}
		return links, nil
	}
	for range p.Regions {
		links, err := newRow()
		n.controllerLinks = append(n.controllerLinks, links)
		if err != nil {
			return n, err
		}
	}
	for range p.Servers {
		links, err := newRow()
		n.serverLinks = append(n.serverLinks, links)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// linksAcross returns the links between a region and all other regions.
func (n *network) linksAcross(region int) (links []*link) {
	for from, row := range n.controllerLinks {
		for server, l := range row {
			if (from == region) != (n.plan.serverRegion(server) == region) {
				links = append(links, l)
			}
		}
	}
	for from, row := range n.serverLinks {
		for server, l := range row {
			if (n.plan.serverRegion(from) == region) != (n.plan.serverRegion(server) == region) {
				links = append(links, l)
			}
		}
	}
	return links
}

// serverAddresses returns the addresses at which the controllers of a region reach the servers.
func (n *network) serverAddresses(region int) (all []configclient.Server) {
	for server, l := range n.controllerLinks[region] {
		all = append(all, configclient.Server{Address: l.address(), Region: regionName(n.plan.serverRegion(server))})
	}
	return all
}

// serverBytes returns the bytes that a server received from and sent to controllers and other servers.
func (n *network) serverBytes(server int) (bytes int64) {
	for _, rows := range [][][]*link{n.controllerLinks, n.serverLinks} {
		for _, row := range rows {
			bytes += row[server].toServer.Load() + row[server].fromServer.Load()
		}
	}
	return bytes
}

// linkBytes returns the bytes that links forwarded in both directions.
func linkBytes(rows [][]*link) (bytes int64) {
	for _, row := range rows {
		for _, l := range row {
			bytes += l.toServer.Load() + l.fromServer.Load()
		}
	}
	return bytes
}

func (n *network) close() {
	for _, rows := range [][][]*link{n.controllerLinks, n.serverLinks} {
		for _, row := range rows {
			for _, l := range row {
				l.close()
			}
		}
	}
}
