package tillerlink.workload;

import java.util.List;
import tillerlink.model.Effect;
import tillerlink.trace.Layout;
import tillerlink.trace.Layout.Test;

/**
 * Request classes for the built-in layouts, so that a trace can be replayed without an operator
 * file.
 */
public final class BuiltInRequestClasses {
  private static final long SECOND = 10_000;
  private static final double UNBOUNDED = 1e18;

  private BuiltInRequestClasses() {}

  /**
   * Returns the four request classes of a layout, in the order in which rows are matched: "book"
   * with effects, "intake" that is deduplicated by its idempotency key, read-only "sheet" with
   * several threads for one engine kind, and short read-only "look".
   */
  public static List<RequestClassSpec> requestClasses(Layout layout) {
    return switch (layout.name()) {
      case "google-2011" ->
          of(
              List.of(
                  Test.between("priority", 9, UNBOUNDED), Test.between("scheduling_class", 0, 1)),
              List.of(Test.between("priority", 9, UNBOUNDED)),
              List.of(Test.between("scheduling_class", 2, UNBOUNDED)));
      case "alibaba-2018" ->
          of(
              List.of(Test.between("task_type", 10, UNBOUNDED)),
              List.of(Test.between("task_type", 6, 9)),
              List.of(Test.between("task_type", 2, 5)));
      case "azure-2019" ->
          of(
              List.of(Test.in("vm_core_count_bucket", ">24")),
              List.of(Test.in("vm_category", "Unknown")),
              List.of(Test.in("vm_category", "Interactive")));
      default ->
          of(
              List.of(Test.between(layout.start(), -2, -1)),
              List.of(Test.between(layout.start(), -2, -1)),
              List.of(Test.between(layout.start(), -2, -1)));
    };
  }

  private static List<RequestClassSpec> of(List<Test> book, List<Test> intake, List<Test> sheet) {
    return List.of(book(book), intake(intake), sheet(sheet), look());
  }

  private static RequestClassSpec book(List<Test> rows) {
    return new RequestClassSpec(
        "book", Effect.EFFECTFUL, 1, SECOND, 5 * SECOND, 4, 0.4, List.of(), 0, 1000, rows);
  }

  private static RequestClassSpec intake(List<Test> rows) {
    return new RequestClassSpec(
        "intake",
        Effect.RECEIPTED,
        2,
        4 * SECOND,
        18 * SECOND,
        4,
        2,
        List.of(),
        18 * SECOND,
        5000,
        rows);
  }

  private static RequestClassSpec sheet(List<Test> rows) {
    return new RequestClassSpec(
        "sheet",
        Effect.PURE,
        3,
        5 * SECOND / 2,
        24 * SECOND,
        3,
        1.2,
        List.of("small-8"),
        0,
        6000,
        rows);
  }

  private static RequestClassSpec look() {
    return new RequestClassSpec(
        "look",
        Effect.PURE,
        1,
        9 * SECOND / 10,
        9 * SECOND / 2,
        1,
        0.25,
        List.of(),
        0,
        800,
        List.of());
  }
}
