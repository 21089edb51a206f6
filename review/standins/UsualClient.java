import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that ask for one look-up each, as the protocol page says: one call at a time, the result
 * at the path that the answer names, and a call whose connection ends with no answer again on a new
 * one, three times at most.
 */
final class UsualClient {
  static final int DEADLINE_MS = 4000;

  /** A final answer may come half a second after the time of its request. */
  static final int LATEST_MS = DEADLINE_MS + 500;

  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger turnedBack = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();

  /** Requests that the gateway had taken and that got no final answer in time. */
  final AtomicInteger lost = new AtomicInteger();

  private final Deployment deployment;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger ids = new AtomicInteger();

  UsualClient(Deployment deployment) {
    this.deployment = deployment;
  }

  /** Sends one look-up. */
  void ask() {
    threads.execute(this::call);
  }

  /** Waits until all requests have ended. */
  void await() throws InterruptedException {
    threads.shutdown();
    threads.awaitTermination(10, TimeUnit.SECONDS);
  }

  private void call() {
    String id = String.format("00000000%08x", ids.incrementAndGet());
    Client.Answer answer = null;
    String path = null;
    double sentAt = -1;
    for (int calls = 0; calls < 4 && answer == null && (calls == 0 || path != null); calls++) {
      try (Client client = new Client(deployment.gateway.port)) {
        if (path == null) {
          client.send(
              Client.post(
                  "consulta",
                  id,
                  DEADLINE_MS,
                  "X-Estimate-Ms: 130.0\r\n",
                  "SELECT day, count(*) FROM sales_" + ids.get() % 13 + ".orders GROUP BY day"));
          sentAt = deployment.record.line("usual client sent " + id);
        } else {
          client.send(Client.get(path));
        }
        answer = client.read(left(sentAt));
        while (answer.next() != null) {
          path = answer.next();
          answer = null;
          client.send(Client.get(path));
          answer = client.read(left(sentAt));
        }
      } catch (SocketTimeoutException e) {
        break;
      } catch (IOException e) {
        deployment.record.line("usual client's call for " + id + " ended: " + e.getMessage());
      }
    }
    if (sentAt < 0) {
      deployment.record.line("usual client could not send " + id);
    } else if (answer == null || deployment.record.now() > sentAt + LATEST_MS) {
      lost.incrementAndGet();
      deployment.record.line("usual client got no final answer in time for " + id);
    } else {
      (answer.served() ? served : answer.refused() ? turnedBack : failed).incrementAndGet();
      deployment.record.line("usual client got " + answer.status() + " for " + id);
    }
  }

  private int left(double sentAt) {
    return (int) Math.max(1, sentAt + LATEST_MS - deployment.record.now());
  }

  @Override
  public String toString() {
    return "usual clients: served " + served + ", turned back " + turnedBack + ", failed " + failed
        + ", lost " + lost;
  }
}
