package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.harness.ProcessCluster;

/** A load of plain requests, half of which have side effects. */
final class RequestLoad extends Load {
  private static final long DEADLINE_MS = 3500;

  /**
   * The read timeout of clients, far above the deadline, so that no client times out on an
   * undisturbed gateway of a busy machine.
   */
  private static final long RESPONSE_TIMEOUT_MS = 30_000;

  private static final List<Integer> FINAL_STATUSES = List.of(200, 500, 503);

  private final AtomicLong ids = new AtomicLong(0x5100);

  RequestLoad(ProcessCluster cluster, Audit audit, DisruptionTracker disruptions, long seed) {
    super(cluster, audit, disruptions, seed);
  }

  @Override
  String seedName() {
    return "SubmissionLoad";
  }

  @Override
  long meanPauseMs() {
    return 40;
  }

  @Override
  void sendOne(String gateway, RandomGenerator random) throws IOException {
    boolean effectful = random.nextBoolean();
    String id = String.format("%016x", ids.incrementAndGet());
    String statement =
        (effectful ? "UPDATE air SET mark = " : "SELECT * FROM air WHERE mark = ") + id;
    if (!cluster.gateway(gateway).isRunning()) {
      return;
    }
    long sentAt = System.nanoTime();
    audit.submitted(id, statement, effectful);
    try {
      HttpEndpointClient.Reply reply =
          cluster
              .client(gateway, RESPONSE_TIMEOUT_MS)
              .submit(effectful ? "book" : "look", id, statement, DEADLINE_MS);
      if (FINAL_STATUSES.contains(reply.status())) {
        audit.answered(id, reply.status());
      } else {
        audit.violation(
            Rule.ONE_ANSWER,
            gateway
                + " responded to "
                + id
                + " with unexpected status "
                + reply.status()
                + " "
                + reply.body());
      }
    } catch (IOException e) {
      if (disruptions.disruptedSince(gateway, sentAt)) {
        audit.excused(id);
      }
      throw e;
    }
  }
}
