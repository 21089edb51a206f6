package tillerlink.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;

/** Conversion of the values of options. */
final class OptionValues {
  /** Tenths of a millisecond in a second. */
  static final double TICKS_PER_SECOND = 10_000;

  private OptionValues() {}

  /** The names of the layouts, for the help. */
  static final class LayoutNames implements Iterable<String> {
    @Override
    public Iterator<String> iterator() {
      return Layout.KNOWN.stream().map(Layout::name).iterator();
    }
  }

  /**
   * Finds a layout by its name.
   *
   * @throws IllegalArgumentException if there is no layout of that name
   */
  static Layout layout(String name, List<Layout> ownLayouts) {
    List<Layout> all = new ArrayList<>(Layout.KNOWN);
    all.addAll(ownLayouts);
    return all.stream()
        .filter(layout -> layout.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "no layout '"
                        + name
                        + "'; there are "
                        + String.join(", ", all.stream().map(Layout::name).toList())));
  }

  /** Files in the order given; "-" is standard input. */
  static List<Shard> shards(List<String> names) {
    return names.stream()
        .map(name -> name.equals("-") ? Shard.STANDARD_INPUT : Shard.of(Path.of(name)))
        .toList();
  }
}
