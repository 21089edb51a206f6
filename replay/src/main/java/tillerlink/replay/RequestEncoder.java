package tillerlink.replay;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import tillerlink.model.Effect;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/** Encodes the HTTP requests to gateways, identically in virtual time and over sockets. */
public final class RequestEncoder {
  private static final int TICKS_PER_MS = 10;
  private static final int HEX_DIGITS = 16;
  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final double MAX_ESTIMATE_MS = 99_999;

  private final long seed;
  private final double estimateSigma;

  /**
   * Creates an encoder with a seed.
   *
   * @param seed the seed of the ids and of the errors of estimates
   * @param estimateSigma the error of estimates: the sigma of a log-normal factor
   */
  public RequestEncoder(long seed, double estimateSigma) {
    this.seed = seed;
    this.estimateSigma = estimateSigma;
  }

  /**
   * Returns the id of a request. It is unique in the run, because the mapping from the number of
   * the arrival is one to one.
   */
  public String id(Arrival arrival) {
    return hex(((arrival.number() + 1) * HASH_MULTIPLIER) ^ seed);
  }

  /** Returns the idempotency key of a request. */
  public String idempotencyKey(Arrival arrival) {
    return hex(arrival.key() * HASH_MULTIPLIER) + hex(arrival.number());
  }

  private static String hex(long number) {
    String digits = Long.toHexString(number);
    return "0".repeat(HEX_DIGITS - digits.length()) + digits;
  }

  /** Encodes the HTTP request that submits a statement. */
  public byte[] submit(Arrival arrival, RequestClassSpec requestClass, String id) {
    Random random = new Random(arrival.key() ^ seed);
    double estimate =
        arrival.work() / TICKS_PER_MS * Math.exp(random.nextGaussian() * estimateSigma);
    double space = Math.max(1, arrival.memory() * Math.exp(random.nextGaussian() * estimateSigma));
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
            + requestClass.deadline() / TICKS_PER_MS
            + (requestClass.effect() == Effect.RECEIPTED
                ? "\r\nX-Operation-Key: " + idempotencyKey(arrival)
                : "")
            + "\r\nX-Estimate-Ms: "
            + String.format(Locale.ROOT, "%.1f", Math.min(MAX_ESTIMATE_MS, estimate))
            + "\r\nX-Space: "
            + (long) space
            + "\r\nContent-Length: "
            + statement.length()
            + "\r\n\r\n"
            + statement)
        .getBytes(StandardCharsets.US_ASCII);
  }

  /** Encodes the HTTP request that fetches a result. */
  public static byte[] fetch(String path) {
    return ("GET " + path + " HTTP/1.1\r\nHost: app\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
  }

  /** Encodes the HTTP request that cancels a request. */
  public static byte[] cancel(String path) {
    return ("DELETE " + path + " HTTP/1.1\r\nHost: app\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }
}
