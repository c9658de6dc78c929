# Installs the packages so that find_package(rattanrack) gives rattanrack::base, rattanrack::policy and the others.
include(CMakePackageConfigHelpers)
get_property(packages GLOBAL PROPERTY RATTANRACK_PACKAGES)
install(TARGETS ${packages} rattanrack_settings EXPORT rattanrackTargets ARCHIVE DESTINATION lib)
install(EXPORT rattanrackTargets NAMESPACE rattanrack:: DESTINATION lib/cmake/rattanrack)
configure_file(cmake/rattanrackConfig.cmake.in ${CMAKE_BINARY_DIR}/rattanrackConfig.cmake @ONLY)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/rattanrackConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/rattanrackConfig.cmake ${CMAKE_BINARY_DIR}/rattanrackConfigVersion.cmake
    DESTINATION lib/cmake/rattanrack)
