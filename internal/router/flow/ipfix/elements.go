// Package ipfix encodes and decodes IPFIX messages (RFC 7011) with a router's flow records. The records are biflows (RFC 5103)
// with additional enterprise-specific information elements.
package ipfix

// Element is an information element, as a template specifies it.
type Element struct {
	ID         uint16
	Enterprise uint32 // private enterprise number; 0 for IANA elements
	Length     uint16 // octets, or Variable
}

// Variable is the Length of variable-length elements: each value starts with its length (RFC 7011, section 7).
const Variable = 0xffff

const (
	reverseEnterprise = 29305 // private enterprise number of reverse elements (RFC 5103, section 6.1)
	// Documentation is the private enterprise number reserved for documentation (RFC 5612), the default as the project has none.
	Documentation = 32473
)

// IANA information elements.
var (
	octetDeltaCount          = Element{1, 0, 8}
	protocolIdentifier       = Element{4, 0, 1}
	sourceTransportPort      = Element{7, 0, 2}
	sourceIPv4Address        = Element{8, 0, 4}
	destinationTransportPort = Element{11, 0, 2}
	destinationIPv4Address   = Element{12, 0, 4}
	sourceIPv6Address        = Element{27, 0, 16}
	destinationIPv6Address   = Element{28, 0, 16}
	exportedOctetTotalCount  = Element{40, 0, 8}
	exportedFlowRecordTotal  = Element{42, 0, 8}
	flowEndReason            = Element{136, 0, 1}
	flowStartMilliseconds    = Element{152, 0, 8}
	flowEndMilliseconds      = Element{153, 0, 8}
	observationDomainID      = Element{149, 0, 4}
	systemInitMilliseconds   = Element{160, 0, 8}
	notSentFlowTotalCount    = Element{166, 0, 8}
	notSentOctetTotalCount   = Element{168, 0, 8}
	biflowDirection          = Element{239, 0, 1}
	reverseOctetDeltaCount   = Element{1, reverseEnterprise, 8}
)

// IDs of the enterprise-specific elements, under the private enterprise number that the operator sets.
const (
	idCommands = iota + 1
	idSide
	idCarrier
	idBand
	idHost
	idBuild
	idDrained
	idRecords
	idConnections
)

// enterpriseElements returns the enterprise-specific elements by ID; index 0 is unused.
func enterpriseElements(enterprise uint32) (all [idConnections + 1]Element) {
	for id, length := range [...]uint16{idCommands: 8, idSide: 1, idCarrier: Variable, idBand: Variable, idHost: Variable,
		idBuild: 4, idDrained: 1, idRecords: 4, idConnections: 4} {
		all[id] = Element{uint16(id), enterprise, length}
	}
	return all
}

// Template IDs; they start at 256 (RFC 7011, section 3.4.1).
const (
	template4 = 256 + iota
	template6
	templateFolded
	templateTotals // options template: numbers of exported and of dropped records
)

// elements returns the information elements of a template, in order.
func elements(template uint16, enterprise uint32) []Element {
	enterpriseSpecific := enterpriseElements(enterprise)
	common := append([]Element{flowStartMilliseconds, flowEndMilliseconds, octetDeltaCount, reverseOctetDeltaCount, flowEndReason,
		biflowDirection}, enterpriseSpecific[1:]...)
	switch template {
	case template4:
		return append([]Element{sourceIPv4Address, destinationIPv4Address, sourceTransportPort, destinationTransportPort,
			protocolIdentifier}, common...)
	case template6:
		return append([]Element{sourceIPv6Address, destinationIPv6Address, sourceTransportPort, destinationTransportPort,
			protocolIdentifier}, common...)
	case templateFolded:
		return common
	}
	return []Element{observationDomainID, systemInitMilliseconds, exportedFlowRecordTotal, exportedOctetTotalCount,
		notSentFlowTotalCount, notSentOctetTotalCount}
}

// totalsScopeFields is the scope field count of templateTotals: the first element, the observation domain.
const totalsScopeFields = 1
