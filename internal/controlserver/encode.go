package controlserver

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"lilacbend/internal/controller"
)

// EncodeUpdate returns the parts of an update, each as the words of one message. All parts but the last are marked as
// continued; the last one has the nonce if the proxy must acknowledge the update. An update without content has no parts.
func EncodeUpdate(update controller.Update) [][]string {
	parts := encodeTable(update)
	parts = append(parts, encodeAdmissions(update.Admissions, maxParts-len(parts))...)
	if update.WantsAck {
		parts = addNonce(parts, update.Nonce)
	}
	for k := range len(parts) - 1 {
		parts[k] = append(parts[k], fieldContinued, flagSet)
	}
	return parts
}

// encodeTable returns the parts for endpoints, ejected and unejected replicas, in this order. The first part of a full
// update is marked as full.
func encodeTable(update controller.Update) [][]string {
	var parts [][]string
	for chunk := range slices.Chunk(update.Endpoints, maxEndpointsPerPart) {
		parts = append(parts, []string{messageUpdate, fieldEndpoints, formatEndpoints(chunk)})
	}
	for chunk := range slices.Chunk(update.Ejected, maxEndpointsPerPart) {
		parts = append(parts, []string{messageUpdate, fieldEjected, strings.Join(chunk, ",")})
	}
	for chunk := range slices.Chunk(update.Unejected, maxEndpointsPerPart) {
		parts = append(parts, []string{messageUpdate, fieldUnejected, strings.Join(chunk, ",")})
	}
	if !update.FullTable {
		return parts
	}
	if len(parts) == 0 {
		parts = append(parts, []string{messageUpdate})
	}
	parts[0] = slices.Insert(parts[0], 1, fieldFull, flagSet)
	return parts
}

// encodeAdmissions returns a part for each admission. If there are more admissions than limit, it returns a part for each
// group of classes whose admissions are equal.
func encodeAdmissions(admissions []controller.Admission, limit int) [][]string {
	if len(admissions) > limit {
		admissions = mergeAdmissions(admissions)
	}
	parts := make([][]string, 0, len(admissions))
	for _, admission := range admissions {
		parts = append(parts, []string{
			messageUpdate,
			fieldClasses, admission.Class,
			fieldFraction, formatWeight(admission.Fraction),
			fieldRetries, strconv.Itoa(int(admission.Retries)),
		})
	}
	return parts
}

// mergeAdmissions joins the names of classes whose admissions are otherwise equal, in the order of their first class. The
// result fits one update, as fractions and retry policies take few distinct values.
func mergeAdmissions(admissions []controller.Admission) []controller.Admission {
	var merged []controller.Admission
	indexes := map[controller.Admission]int{}
	for _, admission := range admissions {
		key := admission
		key.Class = ""
		index, seen := indexes[key]
		if seen {
			merged[index].Class += "+" + admission.Class
			continue
		}
		indexes[key] = len(merged)
		merged = append(merged, admission)
	}
	return merged
}

// addNonce adds the nonce to the last part. For an update without other content it returns one part with the nonce alone.
func addNonce(parts [][]string, nonce uint64) [][]string {
	if len(parts) == 0 {
		parts = append(parts, []string{messageUpdate})
	}
	last := len(parts) - 1
	parts[last] = append(parts[last], fieldUpdateNonce, strconv.FormatUint(nonce, 10))
	return parts
}

// formatEndpoints returns replica:weight for each endpoint, separated by commas.
func formatEndpoints(endpoints []controller.WeightedEndpoint) string {
	pairs := make([]string, len(endpoints))
	for k, endpoint := range endpoints {
		pairs[k] = endpoint.Replica + ":" + formatWeight(endpoint.Weight)
	}
	return strings.Join(pairs, ",")
}

// formatWeight formats a weight or a fraction with the precision of a float32, which is what a proxy reads. Larger values
// are limited to the largest float32, so that the result is never infinity.
func formatWeight(value float64) string {
	return strconv.FormatFloat(math.Min(value, math.MaxFloat32), 'f', -1, 32)
}
