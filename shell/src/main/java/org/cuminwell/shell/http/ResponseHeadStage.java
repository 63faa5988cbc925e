package org.cuminwell.shell.http;

import java.util.List;
import java.util.stream.IntStream;
import org.apache.pekko.Done;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Limits the size of each response head that arrives over a client connection, and removes interim
 * (1xx) responses, because the library's parser handles each of them by recursion. Bytes that
 * arrive while no response is awaited close the connection.
 *
 * <p>Invariants: nothing is passed on before the final head is complete or the connection ends; at
 * most {@link #MAX_HEAD_BYTES} and one part are buffered; bytes are passed on in pieces of at most
 * {@link #MAX_PIECE_BYTES}, which keeps the parser's recursion over further messages in one piece
 * shallow. Thread safe; each materialization has its own state.
 */
final class ResponseHeadStage extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** The maximum size of all heads of a response, including the interim ones, in bytes. */
  static final int MAX_HEAD_BYTES = 64 * 1024;

  /** The maximum size of a piece that is passed on, in bytes. */
  static final int MAX_PIECE_BYTES = 8 * 1024;

  private static final ByteString STATUS_LINE_START = ByteString.fromString("HTTP/1.");
  private static final int STATUS_CLASS_INDEX = "HTTP/1.1 ".length();

  private final ResponseGate gate;
  private final Inlet<ByteString> in = Inlet.create("ResponseHeadStage.in");
  private final Outlet<ByteString> out = Outlet.create("ResponseHeadStage.out");

  /** Creates a stage; the gate tells when a response is awaited. */
  ResponseHeadStage(ResponseGate gate) {
    this.gate = gate;
  }

  @Override
  public FlowShape<ByteString, ByteString> shape() {
    return FlowShape.of(in, out);
  }

  @Override
  public GraphStageLogic createLogic(Attributes attributes) {
    return new Logic();
  }

  private final class Logic extends GraphStageLogic {

    private ByteString buffered = ByteString.emptyByteString();
    private int scanned;
    private int headBytes;
    private boolean headEnded;
    private int response;

    Logic() {
      super(ResponseHeadStage.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              if (gate.isAwaiting()) {
                startResponseIfNew();
                receivePart(grab(in));
              } else {
                failStage(new CallEndedException("the endpoint sent bytes after its response"));
              }
            }

            @Override
            public void onUpstreamFinish() {
              emitMultiple(
                  out,
                  splitIntoPieces(buffered).iterator(),
                  ResponseHeadStage.Logic.this::completeStage);
            }
          });
      setHandler(
          out,
          new AbstractOutHandler() {
            @Override
            public void onPull() {
              pullIfNotPulled();
            }
          });
    }

    /** Reads on while no response is awaited, since only a read shows what the peer does. */
    @Override
    public void preStart() {
      AsyncCallback<Done> readOn = createAsyncCallback((Done _) -> pullIfNotPulled());
      gate.setListener(() -> readOn.invoke(Done.getInstance()));
    }

    private void pullIfNotPulled() {
      if (!hasBeenPulled(in) && !isClosed(in)) {
        pull(in);
      }
    }

    /** Expects a head again if another response is awaited than the one before. */
    private void startResponseIfNew() {
      int expected = gate.responsesExpected();
      if (expected != response) {
        response = expected;
        buffered = ByteString.emptyByteString();
        scanned = 0;
        headBytes = 0;
        headEnded = false;
      }
    }

    /** Passes a part on, or buffers it until the final head is complete. */
    private void receivePart(ByteString part) {
      if (headEnded) {
        emitMultiple(out, splitIntoPieces(part).iterator());
        return;
      }
      headBytes += part.length();
      buffered = buffered.concat(part).compact();
      scanHeads();
      if (headEnded) {
        ByteString first = buffered;
        buffered = ByteString.emptyByteString();
        emitMultiple(out, splitIntoPieces(first).iterator());
      } else if (!startsLikeStatusLine(buffered)) {
        failStage(
            new MalformedResponseException("the endpoint's response does not start with HTTP/1."));
      } else if (headBytes > MAX_HEAD_BYTES) {
        failStage(new MalformedResponseException("the endpoint's response head is too large"));
      } else {
        pull(in);
      }
    }

    /** Drops complete interim heads from the buffer and detects the end of the final head. */
    private void scanHeads() {
      byte[] bytes = buffered.toArrayUnsafe();
      int start = 0;
      for (int i = scanned; i < bytes.length && !headEnded; i++) {
        if (!isHeadEnd(bytes, start, i)) {
          continue;
        }
        if (isInterim(bytes, start)) {
          start = i + 1;
        } else {
          headEnded = true;
        }
      }
      buffered = buffered.drop(start);
      scanned = buffered.length();
    }
  }

  /** Returns whether the byte at the index ends an empty line, and so a head. */
  private static boolean isHeadEnd(byte[] bytes, int start, int index) {
    if (bytes[index] != '\n') {
      return false;
    }
    int previous = index > start && bytes[index - 1] == '\r' ? index - 2 : index - 1;
    return previous >= start && bytes[previous] == '\n';
  }

  /** Returns whether the head that starts at the index has a 1xx status. */
  private static boolean isInterim(byte[] bytes, int start) {
    int index = start + STATUS_CLASS_INDEX;
    return index < bytes.length && bytes[index] == '1';
  }

  /** Returns whether the bytes so far match the start of a status line. */
  private static boolean startsLikeStatusLine(ByteString bytes) {
    int length = Math.min(bytes.length(), STATUS_LINE_START.length());
    return bytes.take(length).equals(STATUS_LINE_START.take(length));
  }

  /** Splits the bytes into pieces of at most {@link #MAX_PIECE_BYTES}. */
  private static List<ByteString> splitIntoPieces(ByteString bytes) {
    int count = (bytes.length() + MAX_PIECE_BYTES - 1) / MAX_PIECE_BYTES;
    return IntStream.range(0, count)
        .mapToObj(i -> bytes.slice(i * MAX_PIECE_BYTES, (i + 1) * MAX_PIECE_BYTES))
        .toList();
  }
}
