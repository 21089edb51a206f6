package tillerlink.fleet;

/**
 * An engine that is in the fleet from the start.
 *
 * @param kind the index of its kind in the fleet's kinds
 * @param zone the index of its zone in the fleet's zones
 */
public record EngineSpec(String name, int kind, int zone) {}
