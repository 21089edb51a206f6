package tillerlink.fleet;

/** A kind of engine; memory is megabytes. */
public record Kind(String name, int cores, double memory) {
}
