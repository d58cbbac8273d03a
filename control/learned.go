package control

// LearnedReplica is the state that a controller has learned of one replica.
type LearnedReplica struct {
	Replica           uint32
	Table             int     // table that the replica is assigned to
	PlacementKey      float64 // rank in the weighted random order in which replicas are assigned to tables
	Speed             float64 // relative to the fleet's mean, above 0
	SampleCount       float64 // number of attempts from which the speed was estimated
	RemainingEjection int64   // time until the ejection as unhealthy ends, in nanoseconds; 0: the replica is not ejected
	Probation         bool    // the ejection has ended or is about to end, and the replica has not been evaluated since
	EjectionCount     int     // ejections of the process; not reset by healthy periods, lowered by the state's age at a restore
	SinceLastSample   int64   // time since the last sample of the speed, in nanoseconds
}

// LearnedFleet is the state that a controller has learned of the fleet as a whole.
type LearnedFleet struct {
	TableCount            int         // number of tables; 0: none yet
	BaselineResponseTimes [][]float64 // by hardware class: latest samples, in seconds; last element: the whole fleet
	RequestRates          []ClassRate
	Bindings              []Binding
	AdmissionThreshold    float64 // fraction of the traffic classes that is admitted, in order of priority weight: 0 to 1
	MaxSuccessRate        float64 // highest recent success rate of one replica, in successful responses a second
	RetriesStopped        bool
}

// ClassRate is the recent rate of requests of a traffic class at a proxy.
type ClassRate struct {
	Proxy, Class int
	Rate         float64 // requests a second
}

// Binding is the table that a proxy is bound to.
type Binding struct{ Proxy, Table int }
