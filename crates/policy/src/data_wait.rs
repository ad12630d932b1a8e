//! Decides how long a task waits for capacity near its data or its group.
