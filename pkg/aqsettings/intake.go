package aqsettings

// intakeFields lists the settings that limit what clients may make a process hold.
var intakeFields = []Field{
	count("Intake", "Memory", "MiB", "512", 32, 1<<20,
		"Memory that this process may use. The defaults of the other limits in this section are derived from it.",
		func(s *Settings) *int { return &s.Intake.Memory }),
	count("Intake", "Descriptors", "descriptors", "4096", 64, 1<<20,
		"File descriptors that this process may use. The default limit on connections is derived from it.",
		func(s *Settings) *int { return &s.Intake.Descriptors }),
}
