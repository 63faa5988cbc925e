package org.cuminwell.wire;

import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;

/** Is one record of a control host's journal. Immutable and thread safe. */
public sealed interface JournalRecord {

  /** Replaces the hard state. */
  record Hard(HardState state) implements JournalRecord {}

  /** Adds an entry, which displaces any of the same index and all after it. */
  record Entry(LogEntry<Command> entry) implements JournalRecord {}

  /** Opens a journal whose entries follow the snapshot. */
  record Base(Snapshot<StateSnapshot> snapshot) implements JournalRecord {}
}
