package controlserver

// Types of messages. The type is the first word of a message.
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

// Names of fields. A message consists of its type and of pairs of field name and value.
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

// flagSet is the value of a flag field that is set.
const flagSet = "1"

const (
	// maxEndpointsPerPart is the maximum number of replicas in one part of an update. With the longest ids such a part stays
	// below the largest size of a message.
	maxEndpointsPerPart = 4 << 10
	// maxParts is the maximum number of parts that the protocol allows for one update.
	maxParts = 64
)
