package tillerlink.port;

import java.util.Map;

/** How a door starts the module for one gateway. */
@FunctionalInterface
public interface DispatchPolicyFactory {
  /**
   * @param settings plain names to values: numbers, booleans, texts and lists of them; parts of an
   *     object or of a list of objects stand under dotted names; times are tenths of a millisecond
   */
  DispatchPolicy create(long now, long seed, Map<String, Object> settings, DispatchActions actions);
}
