package tillerlink.faultinjection.play;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import tillerlink.faultinjection.audit.Audit;
import tillerlink.faultinjection.audit.Rule;
import tillerlink.faultinjection.client.HttpEndpointClient;
import tillerlink.faultinjection.harness.ProcessCluster;

/** Plain requests, half of them effectful. */
final class RequestLoad extends Load {
  private static final long DEADLINE_MS = 3500;

  /**
   * Far more than the deadline: a busy machine makes no client give up on a gateway that was left
   * in peace.
   */
  private static final long PATIENCE_MS = 30_000;

  private final AtomicLong ids = new AtomicLong(0x5100);

  RequestLoad(ProcessCluster rig, Audit audit, Disturbed disturbed, long seed) {
    super(rig, audit, disturbed, seed);
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
    if (!rig.gateway(gateway).isRunning()) {
      return;
    }
    long began = System.nanoTime();
    audit.handedIn(id, statement, effectful);
    try {
      HttpEndpointClient.Reply reply =
          rig.client(gateway, PATIENCE_MS)
              .submit(effectful ? "book" : "look", id, statement, DEADLINE_MS);
      if (reply.status() == 200 || reply.status() == 500 || reply.status() == 503) {
        audit.answered(id, reply.status());
      } else {
        audit.broken(
            Rule.ONE_ANSWER,
            gateway + " answered " + id + " with " + reply.status() + " " + reply.body());
      }
    } catch (IOException e) {
      if (disturbed.since(gateway, began)) {
        audit.excused(id);
      }
      throw e;
    }
  }
}
