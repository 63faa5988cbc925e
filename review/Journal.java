import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Journal implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  Journal(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    String text = String.format("%8.3f ", seconds()) + String.format(format, values);
    out.println(text);
    out.flush();
    System.out.println(text);
  }

  /** Writes a line to the file alone. */
  synchronized void quiet(String format, Object... values) {
    out.println(String.format("%8.3f ", seconds()) + String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
