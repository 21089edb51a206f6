package tillerlink.fleet;

/**
 * One engine of a fleet at the start.
 *
 * @param kind an index of the fleet's kinds
 * @param zone an index of the fleet's zones
 */
public record EngineSpec(String name, int kind, int zone) {}
