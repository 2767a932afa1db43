package commander

// entry describes one sub-command. It has either a command or children.
type entry struct {
	name     string
	short    string
	long     string
	command  command
	children []entry
}

// entries returns all sub-commands.
func entries() []entry {
	return append(documentEntries(), daemonEntries()...)
}

// documentEntries returns the sub-commands for documents.
func documentEntries() []entry {
	return []entry{
		{
			name: "check", short: "check a document or settings",
			long:    "Prints every fault of FILE to standard output as FILE:LINE:COL: Field: reason. Prints nothing when there are none, and exits 2 when there are.",
			command: &checkCommand{},
		},
		{
			name: "diff", short: "compare two documents",
			long:    "Prints the differences between the documents OLD and NEW, one a line. Revision is not compared.",
			command: &diffCommand{},
		},
		{
			name: "apply", short: "replace the document of an environment",
			long: "Shows the changes from the current document to FILE and puts FILE in its place if nobody changed it meanwhile." +
				" When the outcome of a request is unknown, the same operation is sent again, which applies it once." +
				" On a conflict it prints both changes and exits 1.",
			command: &applyCommand{},
		},
		{
			name: "promote", short: "copy the document of trial to production",
			long: "Puts the text of the trial document in place of the production document." +
				" Only the value of Environment is replaced. It works as apply does.",
			command: &promoteCommand{},
		},
		{
			name: "domain", short: "take a failure domain out, or in again",
			long: editDescription,
			children: []entry{
				{
					name: "out", short: "take a failure domain out", long: "The failure domain NAME gets no new work. " + editDescription,
					command: &flagCommand{list: "Domains", field: "Out", value: true},
				},
				{
					name: "in", short: "take a failure domain in again", long: "The failure domain NAME gets work again. " + editDescription,
					command: &flagCommand{list: "Domains", field: "Out", value: false},
				},
			},
		},
		{
			name: "upstream", short: "give an upstream no new work, or work again",
			long: editDescription,
			children: []entry{
				{
					name: "leaving", short: "give an upstream no new work", long: "The upstream NAME gets no new work. " + editDescription,
					command: &flagCommand{list: "Upstreams", field: "Leaving", value: true},
				},
				{
					name: "back", short: "give an upstream work again", long: "The upstream NAME gets work again. " + editDescription,
					command: &flagCommand{list: "Upstreams", field: "Leaving", value: false},
				},
			},
		},
		{
			name: "move", short: "shift the traffic of a service to another version",
			long: editDescription,
			children: []entry{
				{
					name: "start", short: "start a rollout", long: "Adds the rollout NAME to the document. " + editDescription,
					command: &moveStartCommand{},
				},
				{
					name: "status", short: "show the rollouts of an environment", long: "Prints one line for each rollout in the stored document, or for NAME.",
					command: &moveStatusCommand{},
				},
				{
					name: "cancel", short: "take a rollout back",
					long:    "Gives the rollout NAME the final state TakenBack, so that all traffic goes to the old version. " + editDescription,
					command: &moveCancelCommand{},
				},
			},
		},
		{
			name: "history", short: "show the accepted changes of an environment",
			long:    "Prints the newest accepted changes, at most 64, oldest first: revision, time, operator and operation.",
			command: &historyCommand{},
		},
	}
}

// daemonEntries returns the sub-commands for daemons.
func daemonEntries() []entry {
	return []entry{
		{
			name: "status", short: "show the state of daemons",
			long: "Prints one line for each daemon, and whether the daemons that answered go by the same revision." +
				" Exits 1 when one of them does not answer.",
			command: &statusCommand{},
		},
		{
			name: "explain", short: "show what was decided for a request",
			long:    "Prints the decisions for the request ID, oldest first, with the milliseconds since the query arrived.",
			command: &explainCommand{},
		},
		{
			name: "query", short: "ask a service",
			long:    "Sends a query and prints the answer, or the refusal, as JSON. Exits 1 on a refusal.",
			command: &queryCommand{},
		},
		{
			name: "keys", short: "make certificates for trials",
			long: "Makes the certificates by which daemons trust each other in trials.",
			children: []entry{
				{
					name: "new", short: "make an authority and the certificate of a daemon",
					long: "Writes authority.crt and authority.key, unless DIR has them, and NAME.crt and NAME.key, signed by that authority, to DIR." +
						" It replaces no file.",
					command: &keysNewCommand{},
				},
			},
		},
	}
}
