package lrqueue

const (
	// maxServices and maxRoutes bound the services and the routes of a service of which an Admission keeps a state, maxClasses the values of
	// urgency.
	maxServices = 128
	maxRoutes   = 256
	maxClasses  = 16
)

// boundedGet returns the value of the key, which it creates at the first use. A map that is full is emptied.
func boundedGet[K comparable, V any](values map[K]*V, key K, most int, create func() *V) *V {
	value, ok := values[key]
	if ok {
		return value
	}
	if len(values) >= most {
		clear(values)
	}
	value = create()
	values[key] = value
	return value
}
