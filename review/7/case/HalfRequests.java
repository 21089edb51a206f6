package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 150 bad clients connect, each sends a request whose body is shorter than its stated length, reads what
 * it is sent, and does the same again once it is turned away. The gateway must not end, and each request
 * that a usual client has sent whole must get its answer.
 */
public final class HalfRequests extends Case {
  private static final int DESCRIPTORS = 256;
  private static final int BAD_CLIENTS = 150;
  private static final int STATED_LENGTH = 130_000;
  private static final int SENT_LENGTH = 120_000;
  private static final int CLIENT_TIME_MS = 4000;

  private final AtomicInteger turnedAway = new AtomicInteger();

  public static void main(String[] args) {
    new HalfRequests().run(args);
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
    AtomicBoolean over = new AtomicBoolean();
    for (int i = 0; i < 75; i++) {
      if (i == 10 && trouble) {
        record.line("bad clients: " + BAD_CLIENTS + " connect");
        for (int k = 0; k < BAD_CLIENTS; k++) {
          Thread thread = new Thread(() -> sendHalfRequests(gateway.port, over), "bad");
          thread.setDaemon(true);
          thread.start();
        }
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
    over.set(true);
    int lost = Collections.frequency(ends, Client.End.LOST);
    say(
        "usual clients: " + ends.size() + " requests, "
            + Collections.frequency(ends, Client.End.SERVED) + " served, "
            + Collections.frequency(ends, Client.End.REFUSED) + " refused, "
            + Collections.frequency(ends, Client.End.FAILED) + " failed, "
            + Collections.frequency(ends, Client.End.NOT_SENT) + " not sent, "
            + lost + " without an answer; bad clients: turned away " + turnedAway + " times");
    if (!gateway.isAlive()) {
      say("the gateway has ended with " + gateway.exitValue());
      return false;
    }
    return lost == 0;
  }

  private void sendHalfRequests(int port, AtomicBoolean over) {
    byte[] buffer = new byte[8192];
    while (!over.get()) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 3000);
        socket.setSoTimeout(6000);
        String head =
            "POST /v1/consulta HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + Client.newId()
                + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: " + STATED_LENGTH + "\r\n\r\n";
        String body = "SELECT a FROM sales_17.orders --" + "x".repeat(SENT_LENGTH - 32);
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        while (in.read(buffer) >= 0) {
          // Reads what it is sent, to the end.
        }
        turnedAway.incrementAndGet();
      } catch (IOException e) {
        pause();
      }
    }
  }

  /** Waits a little after a connection that was reset or not accepted. */
  private static void pause() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
