import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A connection of a client: calls in HTTP/1.1. */
final class Client implements AutoCloseable {
  /** An answer to a call. */
  record Answer(int status, String body) {
    private static final Pattern CONTINUE = Pattern.compile("\"continue\":\"([^\"]+)\"");

    /** Returns the path at which the call goes on, or null if the answer is the last. */
    String next() {
      Matcher matcher = CONTINUE.matcher(body);
      return status == 200 && matcher.find() ? matcher.group(1) : null;
    }

    boolean served() {
      return status == 200 && next() == null && !body.contains("\"problem\"");
    }

    boolean refused() {
      return status == 429 || status == 503;
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(int port) throws IOException {
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String post(String requestClass, String id, long deadlineMs, String more, String body) {
    return "POST /v1/" + requestClass + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
        + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + more + "Content-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
  }

  static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n";
  }

  static String delete(String path) {
    return "DELETE " + path + " HTTP/1.1\r\nHost: app.svc\r\n\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Reads one answer; throws EOFException if the connection ends before it is whole. */
  Answer read(int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    String status = line();
    int length = 0;
    for (String line = line(); !line.isEmpty(); line = line()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).strip());
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("answer cut off");
    }
    return new Answer(Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int octet = in.read(); octet != '\n'; octet = in.read()) {
      if (octet < 0) {
        throw new EOFException("connection ended");
      }
      line.append((char) octet);
    }
    return line.toString().strip();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
