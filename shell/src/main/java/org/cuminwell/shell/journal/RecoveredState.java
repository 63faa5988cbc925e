package org.cuminwell.shell.journal;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.Snapshot;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.wire.JournalCodec;
import org.cuminwell.wire.JournalRecord;
import org.cuminwell.wire.WireFormatException;
import org.jspecify.annotations.Nullable;

/** Rebuilds the durable state from the records of a journal file. Not thread safe. */
final class RecoveredState {

  private final Path file;
  private final List<LogEntry<Command>> entries = new ArrayList<>();
  private Optional<Snapshot<StateSnapshot>> snapshot = Optional.empty();
  private @Nullable HardState hardState;

  RecoveredState(Path file) {
    this.file = file;
  }

  /**
   * Adds the next record of the file.
   *
   * @throws JournalException if the record can't be decoded, or if its entry leaves a gap in the
   *     log
   */
  void addRecord(byte[] encodedRecord) {
    switch (decode(encodedRecord)) {
      case JournalRecord.Hard r -> hardState = r.state();
      case JournalRecord.Base r -> snapshot = Optional.of(r.snapshot());
      case JournalRecord.Entry r -> addEntry(r.entry());
    }
  }

  /**
   * Returns the state after the records added so far.
   *
   * @throws JournalException if none of the records held a hard state
   */
  DurableState<Command, StateSnapshot> toDurableState() {
    if (hardState == null) {
      throw new JournalException(file + " has no hard state; move the data folder away");
    }
    return new DurableState<>(hardState, snapshot, entries);
  }

  /** Adds an entry, and removes earlier entries of the same index and above, which it replaces. */
  private void addEntry(LogEntry<Command> entry) {
    long snapshotIndex = snapshot.map(Snapshot::index).orElse(0L);
    long position = entry.index() - snapshotIndex - 1;
    if (position < 0 || position > entries.size()) {
      throw new JournalException(
          file + " has a gap before entry " + entry.index() + "; move the data folder away");
    }
    entries.subList((int) position, entries.size()).clear();
    entries.add(entry);
  }

  private JournalRecord decode(byte[] encodedRecord) {
    try {
      return JournalCodec.decode(encodedRecord);
    } catch (WireFormatException e) {
      throw new JournalException(
          file + " holds a record that this version can't read; start the version that wrote it",
          e);
    }
  }
}
