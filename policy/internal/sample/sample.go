// Package sample has functions on lists of samples that several policies share.
package sample

// MaxKept is the maximum number of samples of one kind that are kept.
const MaxKept = 32

// Newest returns the last samples of a list, but no more than limit samples.
func Newest[T any](limit int, samples []T) []T { return samples[max(0, len(samples)-limit):] }

// Mean returns the mean of the values, 0 if there are none. Each value is divided before it is added.
func Mean(values []float64) float64 {
	mean := 0.0
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean
}
