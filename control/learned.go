package control

// LearnedReplica is what a governor has learned of one replica.
type LearnedReplica struct {
	Replica         uint32
	Table           int     // that it is dealt to
	Ticket          float64 // in the draw of tables
	Speed           float64 // against the fleet's mean, above 0
	SampleCount     float64 // attempts behind the speed
	EjectedFor      int64   // how much longer it is ejected as unhealthy; 0: it is not
	Probation       bool    // it was ejected, is restored or about to be, and has not been judged since
	Ejections       int     // consecutive
	SinceLastSample int64
}

// LearnedFleet is what a governor has learned of the fleet as a whole.
type LearnedFleet struct {
	Tables             int         // how many there are; 0: none yet
	UsualResponseTimes [][]float64 // the last ones of each kind, in seconds; the last kind stands for all
	Usage              []ClassRate
	Bindings           []Binding
	AdmissionThreshold float64 // part of the traffic classes that is admitted, by utility: 0 to 1
	MaxSuccessRate     float64 // the highest that a replica had lately, in good answers a second
	RetriesStopped     bool
}

// ClassRate is the rate at which requests of a traffic class came to a proxy lately.
type ClassRate struct {
	Proxy, Class int
	Rate         float64 // a second
}

// Binding is the table that a proxy is bound to.
type Binding struct{ Proxy, Table int }
