package tillerlink.fleet;

/**
 * One engine of a fleet as it stands at the start: places of its kind and zone in the fleet's
 * lists.
 */
public record Spec(String name, int kind, int zone) {}
