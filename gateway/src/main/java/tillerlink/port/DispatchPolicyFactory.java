package tillerlink.port;

import java.util.Map;

/** Starts the policy of one gateway. */
@FunctionalInterface
public interface DispatchPolicyFactory {
  /**
   * Creates a policy.
   *
   * @param now the time of the gateway's start, in tenths of a millisecond
   * @param seed the seed of all random draws
   * @param settings plain names to values: numbers, booleans, texts and lists of them; parts of an
   *     object or of a list of objects stand under dotted names; times are tenths of a millisecond
   * @param actions takes what the policy wants done
   */
  DispatchPolicy create(long now, long seed, Map<String, Object> settings, DispatchActions actions);
}
