package tillerlink.faultinjection.schedule;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.harness.ProcessCluster;

/** Plain requests, half of them with effects. */
final class RequestLoad extends Load {
  private static final long DEADLINE_MS = 3500;

  /**
   * Far above the deadline, so that on a busy machine no client gives up on an undisturbed gateway.
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
  long paceMs() {
    return 40;
  }

  @Override
  void once(String gateway, RandomGenerator chance) throws IOException {
    boolean effectful = chance.nextBoolean();
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
            gateway + " answered " + id + " with " + reply.status() + " " + reply.body());
      }
    } catch (IOException e) {
      if (disruptions.disruptedSince(gateway, sentAt)) {
        audit.excused(id);
      }
      throw e;
    }
  }
}
