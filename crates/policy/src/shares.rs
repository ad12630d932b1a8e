//! Orders teams by weighted fair shares of a full pool.
