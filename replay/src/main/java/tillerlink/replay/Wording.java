package tillerlink.replay;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import tillerlink.model.Effect;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/** How a request is worded to a gateway, the same for every way of replaying it. */
public final class Wording {
  private static final int DIGITS = 16;
  private static final long STEP = 0x9e3779b97f4a7c15L;
  private static final double ESTIMATE_MOST = 99_999;

  private final long seed;
  private final double error;

  /**
   * @param error by how much estimates scatter: the sigma of a log-normal factor
   */
  public Wording(long seed, double error) {
    this.seed = seed;
    this.error = error;
  }

  /** An id that no other request of the run has: the mixing is one to one. */
  public String id(Arrival arrival) {
    return hex((arrival.number() + 1) * STEP ^ seed);
  }

  public String mark(Arrival arrival) {
    return hex(arrival.key() * STEP) + hex(arrival.number());
  }

  private static String hex(long number) {
    String digits = Long.toHexString(number);
    return "0".repeat(DIGITS - digits.length()) + digits;
  }

  public byte[] request(Arrival arrival, RequestClassSpec requestClass, String id) {
    Random random = new Random(arrival.key() ^ seed);
    double estimate = arrival.work() / 10 * Math.exp(random.nextGaussian() * error);
    double space = Math.max(1, arrival.memory() * Math.exp(random.nextGaussian() * error));
    String statement =
        "SELECT day, count(*) FROM t_"
            + arrival.tableGroup()
            + ".rows WHERE tag = '"
            + id
            + "' GROUP BY day";
    return ("POST /v1/"
            + requestClass.name()
            + " HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + requestClass.deadline() / 10
            + (requestClass.effect() == Effect.RECEIPTED
                ? "\r\nX-Operation-Key: " + mark(arrival)
                : "")
            + "\r\nX-Estimate-Ms: "
            + String.format(Locale.ROOT, "%.1f", Math.min(ESTIMATE_MOST, estimate))
            + "\r\nX-Space: "
            + (long) space
            + "\r\nContent-Length: "
            + statement.length()
            + "\r\n\r\n"
            + statement)
        .getBytes(StandardCharsets.US_ASCII);
  }

  public static byte[] fetch(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: app\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  public static byte[] leave(String path) {
    return ("DELETE " + path + " HTTP/1.1\r\nHost: app\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }
}
