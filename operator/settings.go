package operator

// Settings is the settings file of basiltallyctl.
type Settings struct {
	Ctl CtlSettings `ini:"ctl"`
}

// CtlSettings is the [ctl] section: where the system is and whose approvals count.
type CtlSettings struct {
	Addresses    []string `ini:"addresses" doc:"Operators' addresses of the assign processes, host:port, comma separated."`
	Entries      []string `ini:"entries" doc:"Operators' addresses of the entry processes, host:port, comma separated; bundle status asks them too."`
	Store        string   `ini:"store" doc:"Address of the object API, host:port."`
	ApproversDir string   `ini:"approvers_dir" doc:"Directory of the approvers' public keys, NAME.pub each."`
	Approvers    []string `ini:"approvers" doc:"Names of approvers that count; empty takes all files."`
	Approvals    int      `ini:"approvals" default:"1" unit:"approvers" range:"1..9" doc:"Named approvers whose signatures a bundle needs."`
}
