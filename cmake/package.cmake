# Defines one GoogleTest program per file of FOLDER/test.
function (lt_tests NAME FOLDER)
  cmake_parse_arguments (ARG "" "" "LIBS" ${ARGN})
  if (NOT LT_TESTS)
    return ()
  endif ()
  file (GLOB TESTS CONFIGURE_DEPENDS ${FOLDER}/test/test_*.cc)
  foreach (TEST ${TESTS})
    get_filename_component (STEM ${TEST} NAME_WE)
    set (TARGET ${NAME}_${STEM})
    add_executable (${TARGET} ${TEST})
    target_include_directories (${TARGET} PRIVATE ${FOLDER}/src ${FOLDER}/test)
    target_compile_definitions (
      ${TARGET} PRIVATE LT_TEST_DIR="${FOLDER}/test"
                        LT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                        LT_BINARY_DIR="${CMAKE_BINARY_DIR}")
    target_link_libraries (${TARGET} PRIVATE ${ARG_LIBS} GTest::gtest
                           GTest::gtest_main Threads::Threads)
    add_test (NAME ${TARGET} COMMAND ${TARGET})
    set_tests_properties (${TARGET} PROPERTIES TIMEOUT 600)
  endforeach ()
endfunction ()

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

  lt_tests (${NAME} ${CMAKE_CURRENT_SOURCE_DIR} LIBS lt_${NAME}
            ${ARG_TEST_LIBS})

  # Bench drivers are built by the target `bench` only, outside CI.
  file (GLOB BENCHES CONFIGURE_DEPENDS bench/bench_*.c)
  foreach (BENCH ${BENCHES})
    get_filename_component (STEM ${BENCH} NAME_WE)
    add_executable (${NAME}_${STEM} ${BENCH})
    target_include_directories (${NAME}_${STEM} PRIVATE src)
    target_link_libraries (${NAME}_${STEM} PRIVATE lt_${NAME} m)
  endforeach ()
endfunction ()
