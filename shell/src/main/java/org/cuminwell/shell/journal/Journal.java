package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cuminwell.core.consensus.DurableState;
import org.cuminwell.core.consensus.HardState;
import org.cuminwell.core.consensus.LogEntry;
import org.cuminwell.core.consensus.ReplicaAction;
import org.cuminwell.core.control.Command;
import org.cuminwell.core.control.StateSnapshot;
import org.cuminwell.wire.JournalCodec;
import org.cuminwell.wire.JournalRecord;

/**
 * Keeps the durable state of a control host in one data folder.
 *
 * <p>One file is in use. A snapshot makes the next file: it is written beside the old one under
 * another name, synced, renamed and the folder synced, and only then is the old one deleted.
 * Invariant: what was written before {@link #sync} returned is found again by {@link #open}, or
 * {@code open} fails. Not thread safe: after it is opened one thread owns it.
 */
public final class Journal implements AutoCloseable {

  private static final String PREFIX = "journal-";
  private static final String UNFINISHED = ".tmp";

  private final Storage storage;
  private final Path folder;
  private final FileChannel lock;
  private final DurableState<Command, StateSnapshot> recovered;
  private final List<ReplicaAction.Write<Command, StateSnapshot>> unsynced = new ArrayList<>();
  private FileChannel file;
  private long generation;
  private HardState hard;
  private long syncedEnd;
  private HardState syncedHard;
  private boolean torn;

  private Journal(
      Storage storage,
      Path folder,
      FileChannel lock,
      long generation,
      FileChannel file,
      DurableState<Command, StateSnapshot> recovered)
      throws IOException {
    this.storage = storage;
    this.folder = folder;
    this.lock = lock;
    this.generation = generation;
    this.file = file;
    this.recovered = recovered;
    this.hard = recovered.hardState();
    this.syncedEnd = file.position();
    this.syncedHard = hard;
  }

  /**
   * Opens the journal of a data folder, which is made if need be.
   *
   * @param fresh the hard state to start from if the folder holds no journal
   * @throws JournalException if the folder is in use, can't be used or holds damage
   */
  public static Journal open(Path folder, Supplier<HardState> fresh) {
    return open(Storage.LOCAL, folder, fresh);
  }

  static Journal open(Storage storage, Path folder, Supplier<HardState> fresh) {
    try {
      Files.createDirectories(folder);
      return openLocked(storage, folder, lock(folder), fresh);
    } catch (IOException e) {
      throw new JournalException(
          "can't use the data folder " + folder + ": " + e + "; check its disk and rights", e);
    }
  }

  private static Journal openLocked(
      Storage storage, Path folder, FileChannel lock, Supplier<HardState> fresh)
      throws IOException {
    try {
      List<Path> files = files(folder);
      if (files.isEmpty()) {
        DurableState<Command, StateSnapshot> empty = DurableState.empty(fresh.get());
        FileChannel file = create(storage, folder, 1, empty);
        return new Journal(storage, folder, lock, 1, file, empty);
      }
      return recover(storage, folder, lock, files);
    } catch (IOException | RuntimeException e) {
      lock.close();
      throw e;
    }
  }

  /** Returns what the folder held when it was opened. */
  public DurableState<Command, StateSnapshot> recovered() {
    return recovered;
  }

  /**
   * Writes what the replica asks for; it is not durable before {@link #sync}.
   *
   * @throws JournalException if the disk doesn't take it; {@link #sync} will try again
   */
  public void write(ReplicaAction.Write<Command, StateSnapshot> write) {
    if (write instanceof ReplicaAction.Replace<Command, StateSnapshot>) {
      unsynced.clear();
    }
    unsynced.add(write);
    if (torn) {
      return;
    }
    try {
      put(write);
    } catch (IOException e) {
      throw failed(e);
    }
  }

  /**
   * Returns when all that was written is on the disk.
   *
   * @throws JournalException if the disk doesn't take it; nothing since the last sync is promised
   */
  public void sync() {
    try {
      if (torn) {
        writeAgain();
      }
      file.force(false);
      write(file, RecordFrames.mark());
      noteSynced();
      torn = false;
    } catch (IOException e) {
      throw failed(e);
    }
  }

  @Override
  public void close() {
    try {
      file.close();
      lock.close();
    } catch (IOException e) {
      throw failed(e);
    }
  }

  private void writeAgain() throws IOException {
    file.truncate(syncedEnd);
    file.position(syncedEnd);
    hard = syncedHard;
    for (ReplicaAction.Write<Command, StateSnapshot> write : List.copyOf(unsynced)) {
      put(write);
    }
  }

  private void put(ReplicaAction.Write<Command, StateSnapshot> write) throws IOException {
    switch (write) {
      case ReplicaAction.Append<Command, StateSnapshot> w -> append(w);
      case ReplicaAction.Replace<Command, StateSnapshot> w -> replace(w.durable());
    }
  }

  private void noteSynced() throws IOException {
    unsynced.clear();
    syncedEnd = file.position();
    syncedHard = hard;
  }

  private void append(ReplicaAction.Append<Command, StateSnapshot> write) throws IOException {
    if (!write.hardState().equals(hard)) {
      hard = write.hardState();
      put(file, new JournalRecord.Hard(hard));
    }
    for (LogEntry<Command> entry : write.entries()) {
      put(file, new JournalRecord.Entry(entry));
    }
  }

  private void replace(DurableState<Command, StateSnapshot> state) throws IOException {
    FileChannel next = create(storage, folder, generation + 1, state);
    FileChannel old = file;
    file = next;
    generation++;
    hard = state.hardState();
    noteSynced();
    old.close();
    Files.delete(path(folder, generation - 1));
  }

  private JournalException failed(IOException cause) {
    torn = true;
    return new JournalException(
        "the disk of data folder "
            + folder
            + " failed: "
            + cause
            + "; nothing that is not synced has been acknowledged; free space or mend the disk",
        cause);
  }

  private static Journal recover(Storage storage, Path folder, FileChannel lock, List<Path> files)
      throws IOException {
    Path newest = files.getLast();
    byte[] bytes = Files.readAllBytes(newest);
    RecoveredState state = new RecoveredState(newest);
    int end = RecordFrames.read(newest, bytes, state::add);
    DurableState<Command, StateSnapshot> recovered = state.state();
    FileChannel file = storage.open(newest, StandardOpenOption.WRITE);
    file.truncate(end);
    file.position(end);
    file.force(true);
    Journal journal = new Journal(storage, folder, lock, generation(newest), file, recovered);
    journal.markRecovered();
    for (Path older : files.subList(0, files.size() - 1)) {
      Files.delete(older);
    }
    return journal;
  }

  /** Marks what was recovered as synced; on a full disk the next sync does so. */
  private void markRecovered() {
    try {
      write(file, RecordFrames.mark());
      syncedEnd = file.position();
    } catch (IOException e) {
      torn = true;
    }
  }

  private static FileChannel create(
      Storage storage, Path folder, long generation, DurableState<Command, StateSnapshot> state)
      throws IOException {
    Path path = path(folder, generation);
    Path unfinished = folder.resolve(path.getFileName() + UNFINISHED);
    FileChannel file =
        storage.open(
            unfinished,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE);
    try {
      fill(file, state);
      storage.move(unfinished, path);
      storage.syncFolder(folder);
      return file;
    } catch (IOException e) {
      file.close();
      throw e;
    }
  }

  /** Writes a whole state, and returns when it is on the disk. */
  private static void fill(FileChannel file, DurableState<Command, StateSnapshot> state)
      throws IOException {
    put(file, new JournalRecord.Hard(state.hardState()));
    if (state.snapshot().isPresent()) {
      put(file, new JournalRecord.Base(state.snapshot().get()));
    }
    for (LogEntry<Command> entry : state.entries()) {
      put(file, new JournalRecord.Entry(entry));
    }
    file.force(true);
    write(file, RecordFrames.mark());
  }

  private static void put(FileChannel file, JournalRecord record) throws IOException {
    write(file, RecordFrames.frame(JournalCodec.encode(record)));
  }

  private static void write(FileChannel file, ByteBuffer frame) throws IOException {
    while (frame.hasRemaining()) {
      file.write(frame);
    }
  }

  private static FileChannel lock(Path folder) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (!isLocked(channel)) {
      channel.close();
      throw new JournalException(
          "data folder " + folder + " is in use by another process; give each host its own");
    }
    return channel;
  }

  private static boolean isLocked(FileChannel channel) throws IOException {
    try {
      FileLock lock = channel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    }
  }

  /** Returns the journals of the folder, the newest last, and deletes unfinished ones. */
  private static List<Path> files(Path folder) throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      List<Path> journals =
          all.filter(path -> path.getFileName().toString().startsWith(PREFIX)).toList();
      for (Path path : journals) {
        if (isUnfinished(path)) {
          Files.delete(path);
        }
      }
      return journals.stream()
          .filter(path -> !isUnfinished(path))
          .sorted(Comparator.comparingLong(Journal::generation))
          .toList();
    }
  }

  private static boolean isUnfinished(Path path) {
    return path.getFileName().toString().endsWith(UNFINISHED);
  }

  private static long generation(Path path) {
    String name = path.getFileName().toString();
    try {
      return Long.parseLong(name.substring(PREFIX.length()));
    } catch (NumberFormatException e) {
      throw new JournalException("remove the unknown file " + path + " from the data folder", e);
    }
  }

  private static Path path(Path folder, long generation) {
    return folder.resolve(PREFIX + generation);
  }
}
