package tillerlink.policy;

import tillerlink.model.Engine;
import tillerlink.model.Request;

/** Grants memory to attempts, in megabytes. */
final class MemoryGrants {
  /** Margin on the estimated memory. */
  private static final double MARGIN = 1.25;

  private final PolicyConfig config;

  MemoryGrants(PolicyConfig config) {
    this.config = config;
  }

  /** Sets the grant of a request that goes to an engine, if grants are used. */
  void update(long now, Request request, Engine engine) {
    double memory = request.memoryEstimate * request.requestClass.memoryBias.at(now) * MARGIN;
    if (config.grantsMemory && memory > 0) {
      double largest = config.maxGrantShare * config.memory(engine);
      request.setGrant((long) Math.ceil(largest > 0 ? Math.min(memory, largest) : memory));
    }
  }
}
