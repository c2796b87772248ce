package event

// The reasons of JobRefused for a request whose record was not sent to the store. Other reasons of a refusal that is not for load
// are errors of the store.
const (
	ReasonStoreUnavailable = "the platform's store is unavailable"
	ReasonDeadlinePassed   = "the client's deadline has passed"
	// ReasonConfigurationOutdated is also that of a request for a queue that the configuration doesn't have.
	ReasonConfigurationOutdated = "the configuration may not be the newest one"
)
