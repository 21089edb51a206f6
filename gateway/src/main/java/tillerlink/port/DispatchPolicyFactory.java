package tillerlink.port;

import java.util.Map;

/** Creates the dispatch policy of one gateway. */
@FunctionalInterface
public interface DispatchPolicyFactory {
  /**
   * Creates a policy.
   *
   * @param now the start time of the gateway, in tenths of a millisecond
   * @param seed the seed of all random draws
   * @param settings the settings by name: numbers, booleans, strings and lists of them; members of
   *     an object or of a list of objects have dotted names; times are tenths of a millisecond
   * @param actions receives the actions that the policy requests
   */
  DispatchPolicy create(long now, long seed, Map<String, Object> settings, DispatchActions actions);
}
