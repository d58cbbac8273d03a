package control

// LearnedReplica is what a controller has learned of one replica.
type LearnedReplica struct {
	Replica         uint32
	Table           int     // that it is assigned to
	PlacementKey    float64 // its rank in the weighted random order in which replicas are assigned to tables
	Speed           float64 // against the fleet's mean, above 0
	SampleCount     float64 // attempts behind the speed
	EjectedFor      int64   // how much longer it is ejected as unhealthy, in nanoseconds; 0: it is not ejected
	Probation       bool    // its ejection has ended or is about to, and it has not been evaluated since
	Ejections       int     // of its process, healthy times between them or not; a restore lowers the count by its age
	SinceLastSample int64   // nanoseconds
}

// LearnedFleet is what a controller has learned of the fleet as a whole.
type LearnedFleet struct {
	Tables                int         // how many there are; 0: none yet
	BaselineResponseTimes [][]float64 // the last ones of each hardware class, in seconds; the last element stands for the whole fleet
	RequestRates          []ClassRate
	Bindings              []Binding
	AdmissionThreshold    float64 // fraction of the traffic classes that is admitted, by priority weight: 0 to 1
	MaxSuccessRate        float64 // the highest that a replica had recently, in successful responses a second
	RetriesStopped        bool
}

// ClassRate is the rate at which requests of a traffic class arrived at a proxy recently.
type ClassRate struct {
	Proxy, Class int
	Rate         float64 // requests a second
}

// Binding is the table that a proxy is bound to.
type Binding struct{ Proxy, Table int }
