package commander

// entry describes one sub-command.
type entry struct {
	name    string
	short   string
	long    string
	command command
}

// entries returns all sub-commands.
func entries() []entry {
	return []entry{
		{
			"check", "check a document or settings",
			"Prints every fault of FILE to standard output as FILE:LINE:COL: Field: reason. Prints nothing when there are none, and exits 2 when there are.",
			&checkCommand{},
		},
		{
			"diff", "compare two documents",
			"Prints the differences between the documents OLD and NEW, one a line. Revision is not compared.",
			&diffCommand{},
		},
		{
			"apply", "replace the document of an environment",
			"Shows the changes from the current document to FILE and puts FILE in its place if nobody changed it meanwhile." +
				" When the outcome of a request is unknown, the same operation is sent again, which applies it once." +
				" On a conflict it prints both changes and exits 1.",
			&applyCommand{},
		},
		{
			"promote", "copy the document of trial to production",
			"Puts the text of the trial document in place of the production document." +
				" Only the value of Environment is replaced. It works as apply does.",
			&promoteCommand{},
		},
		{
			"status", "show the state of daemons",
			"Prints one line for each daemon, and exits 1 when one of them does not answer.",
			&statusCommand{},
		},
		{
			"explain", "show what was decided for a request",
			"Prints the decisions for the request ID, oldest first, with the milliseconds since the query arrived.",
			&explainCommand{},
		},
		{
			"query", "ask a service",
			"Sends a query and prints the answer, or the refusal, as JSON. Exits 1 on a refusal.",
			&queryCommand{},
		},
	}
}
