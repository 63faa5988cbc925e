package org.cuminwell.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Holds the layers: decisions stay apart from input, output, clocks, threads and encodings. */
@AnalyzeClasses(packages = "org.cuminwell", importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {

  private static final String CORE = "org.cuminwell.core..";

  @ArchTest
  static final ArchRule coreDependsOnValuesOnly =
      classes()
          .that()
          .resideInAPackage(CORE)
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              CORE,
              "java.lang..",
              "java.math..",
              "java.time..",
              "java.util..",
              "java.nio.charset..",
              "java.security..",
              "org.jspecify.annotations..");

  @ArchTest
  static final ArchRule coreHasNoThreads =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .dependOnClassesThat()
          .resideInAPackage("java.util.concurrent..")
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(Thread.class);

  @ArchTest
  static final ArchRule coreAsksNoClock =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .callMethod(java.time.Instant.class, "now")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule coreMakesNoUnseededRandomSource =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .callConstructor(java.util.Random.class)
          .orShould()
          .callConstructor(java.util.SplittableRandom.class)
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(java.security.SecureRandom.class)
          .orShould()
          .callMethod(java.util.UUID.class, "randomUUID")
          .orShould()
          .callMethod(Math.class, "random");

  @ArchTest
  static final ArchRule encodingsStayInWire =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.cuminwell.wire..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.cuminwell.wire.generated..", "com.google.protobuf..");

  @ArchTest
  static final ArchRule nothingSpins =
      noClasses()
          .should()
          .callMethod(Thread.class, "onSpinWait")
          .orShould()
          .callMethod(Thread.class, "yield");

  @ArchTest
  static final ArchRule noProcessStartsAnother =
      noClasses().should().dependOnClassesThat().belongToAnyOf(ProcessBuilder.class, Process.class);

  @ArchTest
  static final ArchRule onlyTheCommandLineKnowsThePlatform =
      noClasses()
          .that()
          .resideOutsideOfPackages("org.cuminwell.platform..", "org.cuminwell.app..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.cuminwell.platform..");

  @ArchTest
  static final ArchRule thePlatformDecidesNothingByItself =
      noClasses()
          .that()
          .resideInAPackage("org.cuminwell.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.util.concurrent.atomic..",
              "java.util.concurrent.locks..",
              "java.nio.file..",
              "java.net..",
              "io.netty..");
}
