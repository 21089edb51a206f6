package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One bad client connects and sends line feeds without end. The gateway must not end, and each request that
 * a usual client has sent whole must get its answer.
 */
public final class LineFeeds extends Case {
  private static final int DESCRIPTORS = 256;

  /** The length of a body that the page names for bad clients; the client sends no more than that. */
  private static final long MOST_BYTES = 60_000_000;

  private static final int CLIENT_TIME_MS = 4000;

  private final AtomicLong sentBytes = new AtomicLong();

  public static void main(String[] args) {
    new LineFeeds().run(args);
  }

  @Override
  protected boolean play() throws Exception {
    EngineServer.Observer observer = (engine, id, requestClass, statement) -> 30;
    try (EngineServer first = new EngineServer(record, "s-1", 0, observer);
        EngineServer second = new EngineServer(record, "s-2", 0, observer)) {
      List<Listed> engines =
          List.of(
              new Listed("s-1", "norte", "comun-8", first.port(), false, 0),
              new Listed("s-2", "sur", "comun-8", second.port(), false, 0));
      try (NameServer names = new NameServer(record, 1, engines);
          GatewayProcess gateway =
              new GatewayProcess(
                  folder,
                  temporary,
                  "n0",
                  DESCRIPTORS,
                  names.address(),
                  Settings.known(engines),
                  Settings.json("by_key"))) {
        if (!gateway.awaitReady()) {
          throw new CannotRun("the gateway is not ready");
        }
        Thread.sleep(1000);
        return judge(gateway);
      }
    }
  }

  private boolean judge(GatewayProcess gateway) throws InterruptedException {
    List<Client.End> ends = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 75; i++) {
      if (i == 10 && trouble) {
        record.line("bad client: connects");
        Thread bad = new Thread(() -> sendLineFeeds(gateway.port), "bad");
        bad.setDaemon(true);
        bad.start();
      }
      Thread thread =
          new Thread(
              () ->
                  ends.add(
                      Client.request(
                          record,
                          gateway.port,
                          "consulta",
                          Client.newId(),
                          CLIENT_TIME_MS,
                          "X-Estimate-Ms: 30.0\r\n",
                          "SELECT a, b, c FROM sales_17.orders")));
      thread.start();
      clients.add(thread);
      Thread.sleep(200);
    }
    for (Thread thread : clients) {
      thread.join();
    }
    int lost = Collections.frequency(ends, Client.End.LOST);
    say(
        "usual clients: " + ends.size() + " requests, "
            + Collections.frequency(ends, Client.End.SERVED) + " served, "
            + Collections.frequency(ends, Client.End.REFUSED) + " refused, "
            + Collections.frequency(ends, Client.End.FAILED) + " failed, "
            + Collections.frequency(ends, Client.End.NOT_SENT) + " not sent, "
            + lost + " without an answer; the bad client sent " + sentBytes + " bytes");
    if (!gateway.isAlive()) {
      say("the gateway has ended with " + gateway.exitValue());
      return false;
    }
    return lost == 0;
  }

  private void sendLineFeeds(int port) {
    byte[] lines = new byte[65_536];
    Arrays.fill(lines, (byte) '\n');
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 3000);
      Thread reader = new Thread(() -> readAll(socket), "bad reader");
      reader.setDaemon(true);
      reader.start();
      while (sentBytes.get() + lines.length <= MOST_BYTES) {
        socket.getOutputStream().write(lines);
        sentBytes.addAndGet(lines.length);
      }
      reader.join(6000);
    } catch (IOException e) {
      record.line("bad client: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads what the client is sent, to the end. */
  private static void readAll(Socket socket) {
    byte[] buffer = new byte[8192];
    try {
      InputStream in = socket.getInputStream();
      while (in.read(buffer) >= 0) {
        // Nothing of it is used.
      }
    } catch (IOException e) {
      // The connection has ended.
    }
  }
}
