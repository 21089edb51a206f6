package tillerlink.policy;

import tillerlink.model.Engine;
import tillerlink.model.Request;

/** Grants memory to attempts, in megabytes. */
final class MemoryGrants {
  /** Factor on the estimated memory. */
  private static final double MARGIN = 1.25;

  private final PolicyConfig config;

  MemoryGrants(PolicyConfig config) {
    this.config = config;
  }

  /**
   * Sets the grant of a request that is sent to an engine, if memory is granted and the request has
   * an estimate. The grant is limited to a share of the engine's memory if that is known.
   */
  void update(long now, Request request, Engine engine) {
    double memory = request.memoryEstimate * request.requestClass.memoryBias.valueAt(now) * MARGIN;
    if (config.grantsMemory && memory > 0) {
      double maxGrant = config.maxGrantShare * config.memory(engine);
      request.setGrant((long) Math.ceil(maxGrant > 0 ? Math.min(memory, maxGrant) : memory));
    }
  }
}
