#include "customers/customer_directory.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

CustomerConfig CustomerWith(const std::string& name,
                            std::initializer_list<const char*> keys) {
  CustomerConfig customer;
  customer.name = name;
  for (const char* key : keys) customer.keys.push_back(KeyDigest::Of(key));
  return customer;
}

TEST(ACustomerDirectory, FindsTheHolderOfEachKey) {
  ConfigDocument document;
  document.customers["north"] = CustomerWith("north", {"n1", "n2"});
  document.customers["south"] = CustomerWith("south", {"s1"});
  const CustomerDirectory directory(document);
  EXPECT_EQ(directory.FindByKey("n1")->name, "north");
  EXPECT_EQ(directory.FindByKey("n2")->name, "north");
  EXPECT_EQ(directory.FindByKey("s1")->name, "south");
}

TEST(ACustomerDirectory, FindsNobodyForAnUnknownOrMissingKey) {
  ConfigDocument document;
  document.customers["north"] = CustomerWith("north", {"n1"});
  const CustomerDirectory directory(document);
  EXPECT_EQ(directory.FindByKey("n2"), nullptr);
  EXPECT_EQ(directory.FindByKey(""), nullptr);
  EXPECT_EQ(CustomerDirectory(ConfigDocument{}).FindByKey("n1"), nullptr);
}

}  // namespace
}  // namespace hibiscusglade
