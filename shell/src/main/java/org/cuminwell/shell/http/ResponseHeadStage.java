package org.cuminwell.shell.http;

import java.util.List;
import java.util.stream.IntStream;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Bounds what comes over a connection before the head of the final answer has ended, and leaves out
 * interim answers, which the library's parser reads by recursion.
 *
 * <p>Invariants: at most {@link #MAX_HEAD_BYTES} are held; what is passed on begins with a whole
 * head and comes in pieces of at most {@link #MAX_PIECE_BYTES}, so that the parser's recursion over
 * further messages in a piece stays shallow. Thread safe; each materialization has a state of its
 * own.
 */
final class ResponseHeadStage extends GraphStage<FlowShape<ByteString, ByteString>> {

  /** The most that the heads of an answer may take, interim ones included. */
  static final int MAX_HEAD_BYTES = 64 * 1024;

  /** The largest piece that is passed on. */
  static final int MAX_PIECE_BYTES = 8 * 1024;

  private static final ByteString STATUS_LINE_START = ByteString.fromString("HTTP/1.");
  private static final int STATUS_CLASS_INDEX = "HTTP/1.1 ".length();

  private final Inlet<ByteString> in = Inlet.create("ResponseHeadStage.in");
  private final Outlet<ByteString> out = Outlet.create("ResponseHeadStage.out");

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

    Logic() {
      super(ResponseHeadStage.this.shape());
      setHandler(
          in,
          new AbstractInHandler() {
            @Override
            public void onPush() {
              receivePart(grab(in));
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
              pull(in);
            }
          });
    }

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
        failStage(new MalformedResponseException("the endpoint sent what is no HTTP answer"));
      } else if (headBytes > MAX_HEAD_BYTES) {
        failStage(new MalformedResponseException("the endpoint sent a head without end"));
      } else {
        pull(in);
      }
    }

    /** Leaves out whole interim heads, and notes when the final head has ended. */
    private void scanHeads() {
      byte[] bytes = buffered.toArrayUnsafe();
      int begin = 0;
      for (int i = scanned; i < bytes.length && !headEnded; i++) {
        if (!isHeadEnd(bytes, begin, i)) {
          continue;
        }
        if (isInterim(bytes, begin)) {
          begin = i + 1;
        } else {
          headEnded = true;
        }
      }
      buffered = buffered.drop(begin);
      scanned = buffered.length();
    }
  }

  /** Returns whether an empty line ends at the position. */
  private static boolean isHeadEnd(byte[] bytes, int begin, int at) {
    if (bytes[at] != '\n') {
      return false;
    }
    int before = at > begin && bytes[at - 1] == '\r' ? at - 2 : at - 1;
    return before >= begin && bytes[before] == '\n';
  }

  private static boolean isInterim(byte[] bytes, int begin) {
    int at = begin + STATUS_CLASS_INDEX;
    return at < bytes.length && bytes[at] == '1';
  }

  private static boolean startsLikeStatusLine(ByteString bytes) {
    int length = Math.min(bytes.length(), STATUS_LINE_START.length());
    return bytes.take(length).equals(STATUS_LINE_START.take(length));
  }

  private static List<ByteString> splitIntoPieces(ByteString bytes) {
    int count = (bytes.length() + MAX_PIECE_BYTES - 1) / MAX_PIECE_BYTES;
    return IntStream.range(0, count)
        .mapToObj(i -> bytes.slice(i * MAX_PIECE_BYTES, (i + 1) * MAX_PIECE_BYTES))
        .toList();
  }
}
