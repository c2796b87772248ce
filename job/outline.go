package job

// Outline returns a job that answers only what its submission says: its times and work by the estimates, and what
// kind of job it is. It has no tasks, so it takes little memory whatever the submission asks for.
func Outline(submission *Submission) *Job { return &Job{submission: submission} }
