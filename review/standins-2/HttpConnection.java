package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client, which makes one call at a time. */
public final class HttpConnection implements AutoCloseable {
  /** An answer that came whole. */
  public record Answer(int status, String body, boolean closes) {}

  public final Socket socket = new Socket();
  private final InputStream in;

  public HttpConnection(int port, int connectMillis) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), connectMillis);
    socket.setSoTimeout(connectMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Makes a call and waits for its answer, as long as the socket's time-out says. */
  public Answer call(String method, String path, String headers, String body) throws IOException {
    send(method, path, headers, body);
    return read();
  }

  public void send(String method, String path, String headers, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\n" + headers
            + (method.equals("POST") ? "Content-Length: " + bytes.length + "\r\n" : "")
            + "\r\n";
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    out.writeBytes(bytes);
    socket.getOutputStream().write(out.toByteArray());
  }

  public Answer read() throws IOException {
    int status = Integer.parseInt(readLine().split(" ")[1]);
    int length = 0;
    boolean closes = false;
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      String lower = line.toLowerCase(java.util.Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).strip());
      }
      closes |= lower.equals("connection: close");
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("answer cut off");
    }
    return new Answer(status, new String(body, StandardCharsets.UTF_8), closes);
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int octet = in.read(); octet >= 0; octet = in.read()) {
      if (octet == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(octet);
    }
    throw new EOFException("connection ended");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
