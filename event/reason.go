package event

// The reasons of JobRefused for a record that was not sent to the store. Other reasons of a refusal that is not for load
// are errors of the store.
const (
	ReasonStoreUnavailable = "the platform's store is unavailable"
	ReasonDeadlinePassed   = "the client's deadline has passed"
)
