package org.cuminwell.shell.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;

/**
 * Makes a chosen operation and some that follow it fail as if the disk were full, then works again.
 *
 * <p>A write that fails still writes half of its bytes. Not thread safe.
 */
final class FaultyStorage implements Storage {

  enum Operation {
    WRITE,
    SYNC,
    SET_LENGTH,
    RENAME,
    SYNC_FOLDER
  }

  private Operation failingOperation = Operation.WRITE;
  private int operationsUntilFailure = Integer.MAX_VALUE;
  private int remainingFailures;
  private int largestRead;

  /**
   * Makes the nth operation of the kind from now on fail, then the operations of any kind that
   * follow it, {@code failureCount} in all.
   */
  void failFrom(Operation kind, int nth, int failureCount) {
    failingOperation = kind;
    operationsUntilFailure = nth;
    remainingFailures = failureCount;
  }

  /** Returns whether no further operation will fail. */
  boolean hasNoFailuresLeft() {
    return remainingFailures == 0;
  }

  /** Returns the size of the largest buffer that was read into, in bytes. */
  int largestRead() {
    return largestRead;
  }

  @Override
  public FileChannel open(Path path, OpenOption... options) throws IOException {
    return new FaultyChannel(FileChannel.open(path, options));
  }

  @Override
  public void move(Path from, Path to) throws IOException {
    failIfDue(Operation.RENAME);
    Storage.super.move(from, to);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    failIfDue(Operation.SYNC_FOLDER);
    Storage.super.syncFolder(folder);
  }

  /** Counts an operation, and throws if it is to fail. */
  private void failIfDue(Operation kind) throws IOException {
    if (operationsUntilFailure > 0 && kind == failingOperation) {
      operationsUntilFailure--;
    }
    if (operationsUntilFailure == 0 && remainingFailures > 0) {
      remainingFailures--;
      throw new IOException("No space left on device");
    }
  }

  /** A file channel with just the operations that a journal uses. */
  private final class FaultyChannel extends FileChannel {

    private final FileChannel file;

    FaultyChannel(FileChannel file) {
      this.file = file;
    }

    @Override
    public int write(ByteBuffer bytes) throws IOException {
      try {
        failIfDue(Operation.WRITE);
      } catch (IOException e) {
        file.write(bytes.slice(bytes.position(), bytes.remaining() / 2));
        throw e;
      }
      return file.write(bytes);
    }

    @Override
    public void force(boolean metaData) throws IOException {
      failIfDue(Operation.SYNC);
      file.force(metaData);
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
      failIfDue(Operation.SET_LENGTH);
      file.truncate(size);
      return this;
    }

    @Override
    public long position() throws IOException {
      return file.position();
    }

    @Override
    public FileChannel position(long position) throws IOException {
      file.position(position);
      return this;
    }

    @Override
    public long size() throws IOException {
      return file.size();
    }

    @Override
    protected void implCloseChannel() throws IOException {
      file.close();
    }

    @Override
    public int read(ByteBuffer bytes) throws IOException {
      largestRead = Math.max(largestRead, bytes.remaining());
      return file.read(bytes);
    }

    @Override
    public long read(ByteBuffer[] bytes, int offset, int length) {
      throw new UnsupportedOperationException();
    }

    @Override
    public int read(ByteBuffer bytes, long position) {
      throw new UnsupportedOperationException();
    }

    @Override
    public long write(ByteBuffer[] bytes, int offset, int length) {
      throw new UnsupportedOperationException();
    }

    @Override
    public int write(ByteBuffer bytes, long position) {
      throw new UnsupportedOperationException();
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target) {
      throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(ReadableByteChannel source, long position, long count) {
      throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) {
      throw new UnsupportedOperationException();
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) {
      throw new UnsupportedOperationException();
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) {
      throw new UnsupportedOperationException();
    }
  }
}
