package tillerlink.model;

/** One entry of the engine list as it came in; {@code startedAt} 0 means long ago. */
public record Listed(Engine engine, int kind, int zone, int cell, double weight,
                     Engine.Standing standing, long startedAt) {
}
