package scale

import "lilacbend/internal/configclient"

// network has a link for each region and server, and for each two servers.
type network struct {
	plan      Plan
	governors [][]*link // by region and server
	servers   [][]*link // by follower and server
}

func newNetwork(p Plan, addresses []string) (n *network, err error) {
	n = &network{plan: p}
	defer func() {
		if err != nil {
			n.close()
		}
	}()
	row := func() (links []*link, err error) {
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
		links, err := row()
		n.governors = append(n.governors, links)
		if err != nil {
			return n, err
		}
	}
	for range p.Servers {
		links, err := row()
		n.servers = append(n.servers, links)
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// across returns the links between a region and all others.
func (n *network) across(region int) (links []*link) {
	for from, row := range n.governors {
		for server, l := range row {
			if (from == region) != (n.plan.serverRegion(server) == region) {
				links = append(links, l)
			}
		}
	}
	for from, row := range n.servers {
		for server, l := range row {
			if (n.plan.serverRegion(from) == region) != (n.plan.serverRegion(server) == region) {
				links = append(links, l)
			}
		}
	}
	return links
}

// addresses returns the addresses at which controllers of a region reach the servers.
func (n *network) addresses(region int) (all []configclient.Server) {
	for server, l := range n.governors[region] {
		all = append(all, configclient.Server{Address: l.address(), Region: regionName(n.plan.serverRegion(server))})
	}
	return all
}

// served returns the bytes that a server received and sent, of controllers and of other servers.
func (n *network) served(server int) (bytes int64) {
	for _, rows := range [][][]*link{n.governors, n.servers} {
		for _, row := range rows {
			bytes += row[server].up.Load() + row[server].down.Load()
		}
	}
	return bytes
}

func carried(rows [][]*link) (bytes int64) {
	for _, row := range rows {
		for _, l := range row {
			bytes += l.up.Load() + l.down.Load()
		}
	}
	return bytes
}

func (n *network) close() {
	for _, rows := range [][][]*link{n.governors, n.servers} {
		for _, row := range rows {
			for _, l := range row {
				l.close()
			}
		}
	}
}
