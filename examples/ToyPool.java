import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A toy pool for trying out a gateway: two engines on 127.0.0.1, ports 5051 and 5052, and their
 * discovery service on port 5353. Start it with {@code java examples/ToyPool.java} and end it with
 * Ctrl-C. The result of a statement has the engine's port, the request class and the statement
 * itself. The statement "sleep N" takes N milliseconds, and "fail" fails.
 */
public final class ToyPool {
  private static final int[] PORTS = {5051, 5052};
  private static final int DISCOVERY_PORT = 5353;

  private ToyPool() {}

  public static void main(String[] args) throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    for (int port : PORTS) {
      ServerSocket listening = new ServerSocket(port, 50, loopback);
      start(
          () -> {
            while (true) {
              Socket socket = listening.accept();
              start(() -> serve(socket, port));
            }
          });
    }
    try (DatagramSocket socket =
        new DatagramSocket(new InetSocketAddress(loopback, DISCOVERY_PORT))) {
      System.out.println("two engines and their name service are up");
      while (true) {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        byte[] response = endpointList(packet);
        socket.send(new DatagramPacket(response, response.length, packet.getSocketAddress()));
      }
    }
  }

  /** Processes the commands of a gateway on one connection until it closes. */
  private static void serve(Socket socket, int port) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    OutputStream out = socket.getOutputStream();
    Set<String> running = ConcurrentHashMap.newKeySet();
    Map<String, String> rows = new ConcurrentHashMap<>();
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      String[] words = line.split(" ");
      switch (words[0]) {
        case "want" -> {
          char[] body = new char[Integer.parseInt(words[3])];
          for (int read = 0; read < body.length; ) {
            read += Math.max(0, in.read(body, read, body.length - read));
          }
          in.readLine();
          String statement = new String(body);
          String requestClass = words[2].replaceAll(".*cls=([^,]*).*", "$1");
          rows.put(
              words[1],
              port + "\t" + requestClass + "\t" + statement.replaceAll("\\s+", " ") + "\n");
          running.add(words[1]);
          start(() -> run(words[1], statement, out, running, rows));
        }
        case "never_mind" -> running.remove(words[1]);
        case "turn" -> {
          String row = rows.getOrDefault(words[1], "");
          send(
              out,
              row.isEmpty()
                  ? words[1] + " error - 0\r\n\r\n"
                  : words[1]
                      + " batch pos="
                      + words[2]
                      + " "
                      + row.length()
                      + "\r\n"
                      + row
                      + "\r\n");
        }
        case "shut" -> rows.remove(words[1]);
        case "there" -> send(out, words[1] + " yes - 0\r\n\r\n");
        default -> socket.close();
      }
    }
  }

  /**
   * Runs a statement: reports its progress every second, then answers with the first of two pages,
   * each of which has one row.
   */
  private static void run(
      String id, String statement, OutputStream out, Set<String> running, Map<String, String> rows)
      throws IOException {
    long millis = statement.matches("sleep \\d{1,5}") ? Long.parseLong(statement.substring(6)) : 20;
    long startMillis = System.currentTimeMillis();
    for (long elapsed = 0; elapsed < millis; elapsed = System.currentTimeMillis() - startMillis) {
      try {
        Thread.sleep(Math.min(1000, millis - elapsed));
      } catch (InterruptedException e) {
        return;
      }
      if (!running.contains(id)) {
        return;
      }
      double share = Math.min(1, (System.currentTimeMillis() - startMillis) / (double) millis);
      send(out, id + " progress tell=frac,reading=" + share + " 0\r\n\r\n");
    }
    if (running.remove(id)) {
      String row = rows.get(id);
      send(
          out,
          statement.equals("fail")
              ? id + " error - 0\r\n\r\n"
              : id + " ok count=2 " + row.length() + "\r\n" + row + "\r\n");
    }
  }

  private static void send(OutputStream out, String text) throws IOException {
    synchronized (out) {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
  }

  /**
   * Encodes the response to a DNS query for the whole endpoint list (RFC 1035). Names are not
   * compressed, except where they refer to the name in the query.
   */
  private static byte[] endpointList(DatagramPacket query) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.write(query.getData(), 0, 2);
    writeShorts(out, 0x8400, 1, PORTS.length, 1, 2 * PORTS.length);
    out.write(query.getData(), 12, query.getLength() - 12);
    for (int port : PORTS) {
      writeShorts(out, 0xc00c, 33, 1, 0, 1, 6 + name(port).length, 0, 10, port);
      out.write(name(port));
    }
    writeShorts(out, 0xc00c, 6, 1, 0, 1, 24, 0xc00c, 0xc00c, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0);
    for (int port : PORTS) {
      out.write(name(port));
      writeShorts(out, 1, 1, 0, 1, 4, 127 << 8, 1);
      out.write(name(port));
      byte[] text = labels("kind=std", "cell=0", "started=0");
      writeShorts(out, 16, 1, 0, 1, text.length);
      out.write(text);
    }
    return bytes.toByteArray();
  }

  private static byte[] name(int port) throws IOException {
    ByteArrayOutputStream name = new ByteArrayOutputStream();
    name.write(labels("toy-" + port, "east", "hosts"));
    name.write(0);
    return name.toByteArray();
  }

  private static byte[] labels(String... labels) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (String label : labels) {
      out.write(label.length());
      out.write(label.getBytes(StandardCharsets.US_ASCII));
    }
    return out.toByteArray();
  }

  private static void writeShorts(DataOutputStream out, int... values) throws IOException {
    for (int value : values) {
      out.writeShort(value);
    }
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void start(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // The gateway closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
