// Package sample has the arithmetic on lists of samples that several decisions share.
package sample

// Kept is how many samples of one kind are kept at most.
const Kept = 32

// Newest returns the last samples of a list, at most so many.
func Newest[T any](most int, samples []T) []T { return samples[max(0, len(samples)-most):] }

// Mean returns the mean of the values, 0 if there are none. Each value is divided before it is added.
func Mean(values []float64) float64 {
	mean := 0.0
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean
}
