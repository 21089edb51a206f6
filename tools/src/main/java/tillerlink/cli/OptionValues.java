package tillerlink.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import tillerlink.trace.Layout;
import tillerlink.trace.Shard;

/** Converts the values of command-line options. */
final class OptionValues {
  /** The number of tenths of a millisecond in a second. */
  static final double TICKS_PER_SECOND = 10_000;

  private OptionValues() {}

  /** The names of the known layouts, for the usage help. */
  static final class LayoutNames implements Iterable<String> {
    @Override
    public Iterator<String> iterator() {
      return Layout.KNOWN.stream().map(Layout::name).iterator();
    }
  }

  /**
   * Finds a layout by its name.
   *
   * @param ownLayouts the layouts of the operator's file, in addition to the known ones
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
                    "unknown layout '"
                        + name
                        + "'; known layouts are "
                        + String.join(", ", all.stream().map(Layout::name).toList())));
  }

  /** Returns the files as shards, in the order given; "-" is standard input. */
  static List<Shard> shards(List<String> names) {
    return names.stream()
        .map(name -> name.equals("-") ? Shard.STANDARD_INPUT : Shard.of(Path.of(name)))
        .toList();
  }
}
