package operator

// Settings is the settings file of basiltallyctl.
type Settings struct {
	Ctl CtlSettings `ini:"ctl"`
}

// CtlSettings is the [ctl] section: the addresses of the system and the approvers whose
// signatures count.
type CtlSettings struct {
	Addresses    []string `ini:"addresses" doc:"Operators' addresses of the assign processes, host:port, comma separated."`
	Entries      []string `ini:"entries" doc:"Operators' addresses of the entry processes, host:port, comma separated; the command bundle status requests their bundle versions too."`
	Store        string   `ini:"store" doc:"Address of the object API, host:port."`
	ApproversDir string   `ini:"approvers_dir" doc:"Directory of the approvers' public keys, one file NAME.pub for each."`
	Approvers    []string `ini:"approvers" doc:"Names of the approvers whose signatures count. If empty, all files count."`
	Approvals    int      `ini:"approvals" default:"1" unit:"approvers" range:"1..9" doc:"Number of named approvers whose signatures a bundle needs."`
}
