# Defines the static library lt_NAME from all files of src/ (main.c excluded)
# and one GoogleTest program per file of test/.
function (lt_package NAME)
  cmake_parse_arguments (ARG "" "" "LIBS;TEST_LIBS" ${ARGN})
  file (GLOB SOURCES CONFIGURE_DEPENDS src/*.c)
  list (FILTER SOURCES EXCLUDE REGEX "/main\\.c$")
  if (SOURCES)
    add_library (lt_${NAME} STATIC ${SOURCES})
    target_include_directories (lt_${NAME} PUBLIC include PRIVATE src)
    target_link_libraries (lt_${NAME} PUBLIC ${ARG_LIBS})
  else ()
    add_library (lt_${NAME} INTERFACE)
    target_include_directories (lt_${NAME} INTERFACE include)
    target_link_libraries (lt_${NAME} INTERFACE ${ARG_LIBS})
  endif ()

  set (TESTS "")
  if (LT_TESTS)
    file (GLOB TESTS CONFIGURE_DEPENDS test/test_*.cc)
  endif ()
  foreach (TEST ${TESTS})
    get_filename_component (STEM ${TEST} NAME_WE)
    set (TARGET ${NAME}_${STEM})
    add_executable (${TARGET} ${TEST})
    target_include_directories (${TARGET} PRIVATE src test)
    target_compile_definitions (
      ${TARGET} PRIVATE LT_TEST_DIR="${CMAKE_CURRENT_SOURCE_DIR}/test"
                        LT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                        LT_BINARY_DIR="${CMAKE_BINARY_DIR}")
    target_link_libraries (${TARGET} PRIVATE lt_${NAME} ${ARG_TEST_LIBS}
                           GTest::gtest GTest::gtest_main Threads::Threads)
    add_test (NAME ${TARGET} COMMAND ${TARGET})
    set_tests_properties (${TARGET} PROPERTIES TIMEOUT 600)
  endforeach ()

  # Bench drivers are built by the target `bench` only, outside CI.
  file (GLOB BENCHES CONFIGURE_DEPENDS bench/bench_*.c)
  foreach (BENCH ${BENCHES})
    get_filename_component (STEM ${BENCH} NAME_WE)
    add_executable (${NAME}_${STEM} ${BENCH})
    target_include_directories (${NAME}_${STEM} PRIVATE src)
    target_link_libraries (${NAME}_${STEM} PRIVATE lt_${NAME} m)
  endforeach ()
endfunction ()
