package controlserver

// Types of messages, the first word of each.
const (
	messageProxyJoin     = "hello"
	messageCollectorJoin = "agent"
	messageHealthCheck   = "probe"
	messageAck           = "ack"
	messageDemand        = "demand"
	messageOutcomes      = "outcomes"
	messageUpdate        = "push"
	messageAlive         = "alive"
	messageError         = "error"
)

// Names of fields; a message is its type followed by pairs of name and value.
const (
	fieldProxy        = "id"
	fieldZone         = "site"
	fieldRate         = "rps"
	fieldWithoutTable = "new"
	fieldAckNonce     = "seq"
	fieldDelay        = "ms"
	fieldClass        = "lane"
	fieldReplica      = "target"
	fieldCount        = "count"
	fieldFailures     = "fail"
	fieldResponseTime = "mean"
	fieldPeriod       = "over"
	fieldLoad         = "util"
	fieldFull         = "full"
	fieldEndpoints    = "endpoints"
	fieldEjected      = "eject"
	fieldUnejected    = "restore"
	fieldClasses      = "routes"
	fieldFraction     = "admit"
	fieldRetries      = "policy"
	fieldUpdateNonce  = "nonce_out"
	fieldContinued    = "continued"
	fieldReason       = "reason"
)

// flagSet is the value of a field that is a flag and set.
const flagSet = "1"

const (
	// maxEndpointsPerPart is how many replicas one part of an update names. With the longest ids such a part stays below
	// the largest size of a message.
	maxEndpointsPerPart = 4 << 10
	// maxParts is how many parts the protocol allows for one update.
	maxParts = 64
)
